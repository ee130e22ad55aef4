import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** Address whose connections go to one port, and from a switch on to another one. */
export class SwitchedStore {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #port: number;

  constructor(port: number) {
    this.#port = port;
    this.#server = createServer((socket) => {
      const target = connect(this.#port, '127.0.0.1');
      for (const item of [socket, target]) {
        this.#sockets.add(item);
        item.on('error', () => undefined);
        item.once('close', () => {
          this.#sockets.delete(item);
          socket.destroy();
          target.destroy();
        });
      }
      socket.pipe(target).pipe(socket);
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return this;
  }

  /** Closes all connections; further ones go to another port. */
  switchTo(port: number): void {
    this.#port = port;
    for (const socket of this.#sockets) socket.destroy();
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}
