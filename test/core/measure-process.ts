const SAMPLE_MS = 10;

/**
 * Tells the port of this process on stdout. From the first line on stdin until the end of stdin, measures
 * the growth of the process, and tells it as `growthBytes`.
 */
export function measureProcess(port: number): void {
  let before = 0;
  let peak = 0;
  process.stdout.write(`${JSON.stringify({ port })}\n`);
  setInterval(() => {
    peak = Math.max(peak, process.memoryUsage().rss);
  }, SAMPLE_MS);
  process.stdin.once('data', () => {
    before = process.memoryUsage().rss;
    peak = before;
  });
  process.stdin.once('end', () => {
    const report = { growthBytes: peak - before };
    process.stdout.write(`${JSON.stringify(report)}\n`, () => process.exit(0));
  });
}
