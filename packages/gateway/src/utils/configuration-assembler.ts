import { inflateRawSync } from 'node:zlib';
import { InvalidInput } from '@ragwortrudder/core';
import type { ConfigurationPart } from '../types/configuration-part.ts';

/** Bytes of a configuration record that is accepted from a peer. */
const MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024;
/** Length of the parts that are held, in characters; whoever reaches the port of the peers can send parts. */
const MAX_HELD_LENGTH = 16 * 1024 * 1024;

/** Joins the parts of a configuration record; parts of an older version are dropped. */
export class ConfigurationAssembler {
  #version = 0;
  #parts = new Map<number, string>();
  #heldLength = 0;

  /** Adds a part; returns the whole record once all parts are there. Throws when it cannot be read. */
  add({ version, part, parts, text }: ConfigurationPart): Uint8Array | undefined {
    if (version < this.#version || part >= parts) return undefined;
    if (version > this.#version) this.#drop();
    this.#version = version;
    this.#heldLength += text.length - (this.#parts.get(part)?.length ?? 0);
    this.#parts.set(part, text);
    if (this.#heldLength > MAX_HELD_LENGTH) {
      this.#drop();
      throw new InvalidInput('parts of a configuration are too large', []);
    }
    if (this.#parts.size < parts) return undefined;
    const ordered = Array.from({ length: parts }, (_item, index) => this.#parts.get(index) ?? '');
    this.#drop();
    const bytes = Buffer.from(ordered.join(''), 'base64');
    return inflateRawSync(bytes, { maxOutputLength: MAX_CONFIGURATION_BYTES });
  }

  #drop(): void {
    this.#parts = new Map();
    this.#heldLength = 0;
  }
}
