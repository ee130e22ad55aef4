import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import type { WriteStream } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Closeable } from '@ragwortrudder/core';

interface SoakNodeOptions {
  readonly id: string;
  readonly folder: string;
  readonly settings: object;
  /** Addresses through which the node's connections go instead, by the addresses that it connects to. */
  readonly routes: Readonly<Record<string, string>>;
}

const ROUTE_PRELOAD = new URL('../../../standins/src/node/route-preload.ts', import.meta.url).href;
const MAIN = fileURLToPath(new URL('../../../cli/src/cli/main.ts', import.meta.url));
/** Delay before a process that exited is restarted, in milliseconds. */
const RESTART_DELAY_MS = 200;

/** Node under test. Runs as a separate process, which is restarted whenever it exits. */
export class SoakNode implements Closeable {
  readonly id: string;
  readonly #settingsPath: string;
  readonly #log: WriteStream;
  readonly #routes: Readonly<Record<string, string>>;
  #settings: object;
  #child: ChildProcess | undefined;
  #exited: Promise<void> = Promise.resolve();
  #isClosing = false;

  constructor({ id, folder, settings, routes }: SoakNodeOptions) {
    this.id = id;
    this.#routes = routes;
    this.#settings = settings;
    this.#settingsPath = join(folder, `${id}.json`);
    this.#log = createWriteStream(join(folder, `${id}.log`));
  }

  start(): void {
    writeFileSync(this.#settingsPath, JSON.stringify(this.#settings));
    const imports = ['--import=tsx', `--import=${ROUTE_PRELOAD}`];
    const child = spawn(process.execPath, [...imports, MAIN, 'serve-platform'], {
      env: {
        ...process.env,
        RAGWORTRUDDER_CONFIG: this.#settingsPath,
        STANDINS_ROUTES: JSON.stringify(this.#routes),
        NODE_NO_WARNINGS: '1',
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    child.stdout.pipe(this.#log, { end: false });
    child.stderr.pipe(this.#log, { end: false });
    this.#exited = new Promise((resolve) => {
      child.once('close', () => {
        setTimeout(() => {
          this.#restart();
        }, RESTART_DELAY_MS);
        resolve();
      });
    });
  }

  /** Sends a signal to this node's process only. */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Merges `change` into the settings file and makes the process reload it with SIGHUP. */
  reload(change: object): void {
    this.#settings = { ...this.#settings, ...change };
    writeFileSync(this.#settingsPath, JSON.stringify(this.#settings));
    this.signal('SIGHUP');
  }

  async close(): Promise<void> {
    this.#isClosing = true;
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.#exited;
    this.#log.end();
  }

  #restart(): void {
    if (!this.#isClosing) this.start();
  }
}
