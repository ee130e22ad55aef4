interface LogLine {
  readonly time: number;
  readonly node: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

function parsed(line: string): LogLine | undefined {
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
 * Lines of the logs of several nodes that tell what became of one request, oldest first, and what
 * the nodes noted of the runners that it was sent to. Lines that are not log lines are left out.
 */
export function requestStory(requestId: string, lines: readonly string[]): readonly string[] {
  const all = lines.map(parsed).filter((line) => line !== undefined);
  const own = all.filter(({ fields }) => fields.request === requestId);
  const runners = new Set(own.map(({ fields }) => fields.runner).filter(Boolean));
  const nodes = new Set(own.map(({ node }) => node));
  const related = all.filter(
    ({ node, fields }) =>
      fields.request === undefined && nodes.has(node) && runners.has(fields.runner),
  );
  return [...own, ...related]
    .toSorted((a, b) => a.time - b.time)
    .map(({ time, node, event, fields }) =>
      `${new Date(time).toISOString()} ${node} ${event} ${fieldText(fields)}`.trimEnd(),
    );
}
