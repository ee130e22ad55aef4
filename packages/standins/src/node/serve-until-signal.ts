interface Server {
  listen(): Promise<void>;
  drain(graceMs: number): Promise<void>;
}

const DRAIN_GRACE_MS = 5000;

/** Starts a server, prints its ready line and drains it on SIGTERM or SIGINT. */
export async function serveUntilSignal(server: Server, ready: () => object): Promise<void> {
  const signal = new Promise<void>((resolve) => {
    for (const name of ['SIGTERM', 'SIGINT'] as const) {
      process.once(name, () => {
        resolve();
      });
    }
  });
  await server.listen();
  process.stdout.write(`${JSON.stringify({ ready: true, ...ready() })}\n`);
  const alive = setInterval(() => undefined, DRAIN_GRACE_MS);
  await signal;
  clearInterval(alive);
  await server.drain(DRAIN_GRACE_MS);
}
