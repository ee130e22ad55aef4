/** Writes a result to stdout: as one line of JSON for programs, else as the text for people. */
export function print(result: {
  readonly json: boolean;
  readonly value: unknown;
  readonly text: string;
}): void {
  process.stdout.write(result.json ? `${JSON.stringify(result.value)}\n` : result.text);
}
