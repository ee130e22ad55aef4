/** Exponentially weighted moving average that starts as the plain mean of the first samples. */
export class MovingAverage {
  readonly #gain: number;
  #value: number;
  #samples = 0;

  constructor(initial: number, gain: number) {
    this.#value = initial;
    this.#gain = gain;
  }

  get value(): number {
    return this.#value;
  }

  get samples(): number {
    return this.#samples;
  }

  add(sample: number): void {
    this.#samples += 1;
    const gain = Math.max(this.#gain, 1 / this.#samples);
    this.#value += gain * (sample - this.#value);
  }
}
