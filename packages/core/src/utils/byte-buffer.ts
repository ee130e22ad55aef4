/** Size of the first block, in bytes. */
const MIN_BLOCK_BYTES = 256;

/**
 * Bytes that arrive in pieces, copied into one growing block. A list of pieces would keep an object for
 * each of them, and the whole block of the read that each is a view of.
 */
export class ByteBuffer {
  #block = Buffer.alloc(0);
  #length = 0;

  /** Bytes that are buffered. */
  get length(): number {
    return this.#length;
  }

  /** Memory that is held for them, in bytes. */
  get heldBytes(): number {
    return this.#block.length;
  }

  /** View of the bytes, valid until the next change. */
  get bytes(): Buffer {
    return this.#block.subarray(0, this.#length);
  }

  /** Appends a copy of `piece`. */
  append(piece: Buffer): void {
    const length = this.#length + piece.length;
    if (length > this.#block.length) this.#grow(length);
    piece.copy(this.#block, this.#length);
    this.#length = length;
  }

  /** Removes the first `length` bytes and returns them in a block that is not written to again. */
  take(length = this.#length): Buffer {
    const taken = this.#block.subarray(0, length);
    const rest = this.#block.subarray(length, this.#length);
    this.#block = Buffer.alloc(0);
    this.#length = 0;
    if (rest.length > 0) this.append(rest);
    return taken;
  }

  #grow(length: number): void {
    const size = Math.max(MIN_BLOCK_BYTES, 2 * this.#block.length, length);
    const block = Buffer.allocUnsafeSlow(size);
    this.bytes.copy(block);
    this.#block = block;
  }
}
