/**
 * Samples of a runner's speed: their number in tenths, and the sum of the natural logarithms of the ratios
 * of measured to expected time in hundredths. Both are whole numbers, which keeps messages short.
 */
export type SpeedSums = readonly [count: number, logSum: number];
