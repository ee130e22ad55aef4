/** Writes a result to stdout, either as one line of JSON or as human-readable text. */
export function print(result: {
  readonly json: boolean;
  readonly value: unknown;
  readonly text: string;
}): void {
  process.stdout.write(result.json ? `${JSON.stringify(result.value)}\n` : result.text);
}
