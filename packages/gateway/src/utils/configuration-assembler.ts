import { inflateRawSync } from 'node:zlib';
import type { ConfigurationPart } from '../types/configuration-part.ts';

/** Bytes of a configuration record that is accepted from a peer. */
const MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024;

/** Joins the parts of a configuration record; parts of an older version are dropped. */
export class ConfigurationAssembler {
  #version = 0;
  #parts = new Map<number, string>();

  /** Adds a part; returns the whole record once all parts are there. Throws when it cannot be read. */
  add({ version, part, parts, text }: ConfigurationPart): Uint8Array | undefined {
    if (version < this.#version) return undefined;
    if (version > this.#version) this.#parts = new Map();
    this.#version = version;
    this.#parts.set(part, text);
    if (this.#parts.size < parts) return undefined;
    const ordered = Array.from({ length: parts }, (_item, index) => this.#parts.get(index) ?? '');
    this.#parts = new Map();
    const bytes = Buffer.from(ordered.join(''), 'base64');
    return inflateRawSync(bytes, { maxOutputLength: MAX_CONFIGURATION_BYTES });
  }
}
