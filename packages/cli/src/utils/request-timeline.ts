interface LogLine {
  readonly time: number;
  readonly node: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

function parseLogLine(line: string): LogLine | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    const { time, node, event, ...fields } = JSON.parse(line.slice(start)) as Record<
      string,
      unknown
    >;
    if (typeof time !== 'number' || typeof node !== 'string' || typeof event !== 'string') {
      return undefined;
    }
    return { time, node, event, fields };
  } catch {
    return undefined;
  }
}

function fieldText(fields: LogLine['fields']): string {
  return Object.entries(fields)
    .filter(([name]) => name !== 'request')
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}

/**
 * Selects from the logs of several nodes the events of one request, and the events that the same
 * nodes logged about the runners that it was sent to; oldest first. Lines that are not log lines are
 * ignored.
 */
export function requestTimeline(requestId: string, lines: readonly string[]): readonly string[] {
  const logLines = lines.map(parseLogLine).filter((line) => line !== undefined);
  const requestLines = logLines.filter(({ fields }) => fields.request === requestId);
  const runners = new Set(requestLines.map(({ fields }) => fields.runner).filter(Boolean));
  const nodes = new Set(requestLines.map(({ node }) => node));
  const runnerLines = logLines.filter(
    ({ node, fields }) =>
      fields.request === undefined && nodes.has(node) && runners.has(fields.runner),
  );
  return [...requestLines, ...runnerLines]
    .toSorted((a, b) => a.time - b.time)
    .map(({ time, node, event, fields }) =>
      `${new Date(time).toISOString()} ${node} ${event} ${fieldText(fields)}`.trimEnd(),
    );
}
