import { spawn } from 'node:child_process';
import type { ChildProcess as NodeChild } from 'node:child_process';
import { createInterface } from 'node:readline';
import type { Closeable } from '@ragwortrudder/core';
import { ProcessFailure } from '../errors/process-failure.ts';

interface ChildProcessOptions {
  readonly name: string;
  readonly command: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
}

const MAX_OUTPUT_CHARS = 256 * 1024;
const STOP_TIMEOUT_MS = 45_000;

/** Child process that ends when its parent ends; retains the end of its stderr. */
export class ChildProcess implements Closeable {
  readonly name: string;
  readonly #child: NodeChild;
  readonly #exit: Promise<void>;
  readonly #firstLine: Promise<string>;
  #output = '';

  constructor({ name, command, args, env }: ChildProcessOptions) {
    this.name = name;
    this.#child = spawn(command, [...args], {
      env: { ...process.env, NODE_NO_WARNINGS: '1', STANDINS_END_WITH_PARENT: 'true', ...env },
      stdio: ['pipe', 'pipe', 'pipe'],
    });
    this.#exit = new Promise((resolve) => {
      this.#child.once('close', () => {
        resolve();
      });
      this.#child.once('error', (error) => {
        this.#appendOutput(String(error));
        resolve();
      });
    });
    this.#firstLine = this.#readFirstLine();
    this.#child.stderr?.on('data', (chunk: Buffer) => {
      this.#appendOutput(chunk.toString('utf8'));
    });
  }

  get pid(): number | undefined {
    return this.#child.pid;
  }

  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Exit code, or `null` while the process runs or if a signal ended it. */
  get exitCode(): number | null {
    return this.#child.exitCode;
  }

  get output(): string {
    return this.#output;
  }

  /** Returns the first line on stdout; rejects if the process ends or the timeout expires first. */
  async firstLine(timeoutMs: number): Promise<string> {
    return this.within(this.#firstLine, timeoutMs, 'wrote no line to stdout');
  }

  /** Awaits `work`; rejects if this process ends or the timeout expires first. `failure` describes the timeout. */
  async within<T>(work: Promise<T>, timeoutMs: number, failure: string): Promise<T> {
    let timer: NodeJS.Timeout | undefined;
    const timedOut = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(() => {
        reject(new ProcessFailure(`${this.name} ${failure} in time`, this.#output));
      }, timeoutMs);
    });
    const ended = this.#exit.then(() => {
      throw new ProcessFailure(`${this.name} ended unexpectedly; its output follows`, this.#output);
    });
    try {
      return await Promise.race([work, timedOut, ended]);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Sends a signal to this process, but not to its children. */
  signal(signal: NodeJS.Signals): void {
    if (this.running) this.#child.kill(signal);
  }

  /** Resolves when the process has ended. */
  async ended(): Promise<void> {
    await this.#exit;
  }

  /** Stops the process with SIGTERM, or with SIGKILL if it does not end in time. */
  async close(): Promise<void> {
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const timer = setTimeout(() => {
      this.signal('SIGKILL');
    }, STOP_TIMEOUT_MS);
    await this.#exit;
    clearTimeout(timer);
  }

  async #readFirstLine(): Promise<string> {
    const { stdout } = this.#child;
    return new Promise((resolve) => {
      if (stdout) createInterface({ input: stdout }).on('line', resolve);
    });
  }

  #appendOutput(text: string): void {
    this.#output = (this.#output + text).slice(-MAX_OUTPUT_CHARS);
  }
}
