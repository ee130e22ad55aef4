import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import type { WriteStream } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Closeable } from '@ragwortrudder/core';
import { NodeNotStarted } from '../errors/node-not-started.ts';

interface SoakNodeOptions {
  readonly id: string;
  readonly folder: string;
  readonly settings: object;
  /** Addresses through which the node's connections go instead, by the addresses that it connects to. */
  readonly routes: Readonly<Record<string, string>>;
  /** Called when the process ends although no signal told it to, or goes on after a fault of its own. */
  readonly onOwnEnd: (how: string) => void;
  /** Called when a process cannot be started. */
  readonly onNotStarted: (error: Error) => void;
  /**
   * Checkout of the version that runs until the node is upgraded.
   * @default this checkout
   */
  readonly production?: string | undefined;
}

const ROUTE_PRELOAD = new URL('../../../standins/src/node/route-preload.ts', import.meta.url).href;
const CHECKOUT = fileURLToPath(new URL('../../../..', import.meta.url));
/**
 * The built program handles SIGHUP from its first module on; here its loader comes before it, so this
 * module tells over a pipe that the signal is handled. The end of stdin tells that the soak is gone.
 */
const PRELOAD =
  'data:text/javascript,import{closeSync,writeSync}from"node:fs";process.on("SIGHUP",()=>{});writeSync(3,"1");closeSync(3);process.stdin.on("end",()=>process.exit(1)).resume().unref()';
/** Position of that pipe. */
const BOOTED_PIPE = 3;
const MAIN = 'packages/cli/src/cli/main.ts';
/** Event of a fault that ended the process of earlier versions. */
const UNHANDLED_REJECTION = '"event":"rejection-unhandled"';
/** Delay before a process that exited is restarted, in milliseconds. */
const RESTART_DELAY_MS = 200;

const ENDING_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set(['SIGTERM', 'SIGKILL']);

/** Node under test. Runs as a separate process, which is restarted whenever it exits. */
export class SoakNode implements Closeable {
  readonly id: string;
  readonly #settingsPath: string;
  readonly #log: WriteStream;
  readonly #routes: Readonly<Record<string, string>>;
  /** Checkout of the version that the next process runs. */
  #checkout: string;
  #settings: object;
  #child: ChildProcess | undefined;
  #exited: Promise<void> = Promise.resolve();
  readonly #onOwnEnd: (how: string) => void;
  readonly #onNotStarted: (error: Error) => void;
  /** Signals by which the process may end; those that follow the first may come too late. */
  readonly #ending = new Set<NodeJS.Signals>();
  #isClosing = false;
  /** The process handles SIGHUP; the one sent before waits, since it would end Node.js in its boot. */
  #hasBooted = false;
  #isReloadWaiting = false;

  constructor({ id, folder, settings, routes, production, ...events }: SoakNodeOptions) {
    this.id = id;
    this.#onOwnEnd = events.onOwnEnd;
    this.#onNotStarted = events.onNotStarted;
    this.#routes = routes;
    this.#settings = settings;
    this.#checkout = production === undefined ? CHECKOUT : resolve(production);
    this.#settingsPath = resolve(folder, `${id}.json`);
    this.#log = createWriteStream(join(folder, `${id}.log`));
  }

  start(): void {
    writeFileSync(this.#settingsPath, JSON.stringify(this.#settings));
    const imports = [`--import=${PRELOAD}`, '--import=tsx', `--import=${ROUTE_PRELOAD}`];
    const child = spawn(process.execPath, [...imports, MAIN, 'serve-platform'], {
      cwd: this.#checkout,
      env: {
        ...process.env,
        RAGWORTRUDDER_CONFIG: this.#settingsPath,
        STANDINS_ROUTES: JSON.stringify(this.#routes),
        NODE_NO_WARNINGS: '1',
      },
      stdio: ['pipe', 'pipe', 'pipe', 'pipe'],
    });
    this.#child = child;
    this.#ending.clear();
    this.#hasBooted = false;
    child.stdio[BOOTED_PIPE]?.once('data', () => {
      this.#continueBooted(child);
    });
    child.stdout.pipe(this.#log, { end: false });
    child.stdout.on('data', (bytes: Buffer) => {
      if (bytes.includes(UNHANDLED_REJECTION)) this.#onOwnEnd('a rejection that nobody handles');
    });
    child.stderr.pipe(this.#log, { end: false });
    child.once('exit', (code, signal) => {
      const isClean = code === 0 || (signal !== null && this.#ending.has(signal));
      if (this.#ending.size > 0 && isClean) return;
      this.#onOwnEnd(`exit code ${String(code)}, signal ${String(signal)}`);
    });
    this.#exited = new Promise((exited) => {
      child.once('error', (error) => {
        this.#onNotStarted(new NodeNotStarted(this.id, error));
        exited();
      });
      child.once('close', () => {
        setTimeout(() => {
          this.#restart();
        }, RESTART_DELAY_MS);
        exited();
      });
    });
  }

  /** Id of the present process; undefined if it could not be started. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Sends a signal to this node's process only. */
  signal(signal: NodeJS.Signals): void {
    const isSent = this.#child?.kill(signal) ?? false;
    if (isSent && ENDING_SIGNALS.has(signal)) this.#ending.add(signal);
  }

  /** Stops the process; the next one runs the version of this checkout. */
  upgrade(): void {
    this.#checkout = CHECKOUT;
    this.signal('SIGTERM');
  }

  /** Merges `change` into the settings file and makes the process reload it with SIGHUP. */
  reload(change: object): void {
    this.#settings = { ...this.#settings, ...change };
    writeFileSync(this.#settingsPath, JSON.stringify(this.#settings));
    this.#isReloadWaiting = !this.#hasBooted;
    if (this.#hasBooted) this.signal('SIGHUP');
  }

  async close(): Promise<void> {
    this.#isClosing = true;
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.#exited;
    this.#log.end();
  }

  #continueBooted(child: ChildProcess): void {
    if (child !== this.#child) return;
    this.#hasBooted = true;
    if (this.#isReloadWaiting) this.signal('SIGHUP');
    this.#isReloadWaiting = false;
  }

  #restart(): void {
    if (!this.#isClosing) this.start();
  }
}
