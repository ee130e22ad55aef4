import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { Closeable } from '@ragwortrudder/core';

const LISTEN = `
  const server = require('node:net').createServer();
  const options = { host: '127.0.0.1', port: Number(process.argv[1]), backlog: 1 };
  server.listen(options, () => process.stdout.write('listening'));
`;
/** Connections that fill the queue of a listening socket with a backlog of 1. */
const QUEUED_CONNECTIONS = 3;

/**
 * Port on which connections are never accepted: connecting hangs, as it does when packets are dropped. A stopped
 * process listens on it, and its queue of new connections is full.
 */
export class UnacceptingPort implements Closeable {
  readonly #child: ChildProcess;
  readonly #queued: Socket[] = [];

  private constructor(child: ChildProcess) {
    this.#child = child;
  }

  static async listen(port: number): Promise<UnacceptingPort> {
    const child = spawn(process.execPath, ['-e', LISTEN, String(port)], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    const unaccepting = new UnacceptingPort(child);
    await Promise.race([once(child.stdout, 'data'), once(child, 'exit')]);
    child.kill('SIGSTOP');
    for (let index = 0; index < QUEUED_CONNECTIONS; index += 1) {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      unaccepting.#queued.push(socket);
    }
    return unaccepting;
  }

  /** Frees the port; connections that hang are reset. */
  async close(): Promise<void> {
    for (const socket of this.#queued) socket.destroy();
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) return;
    const exited = once(this.#child, 'exit');
    this.#child.kill('SIGKILL');
    await exited;
  }
}
