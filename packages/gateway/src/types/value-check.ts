/** Tells whether a value that was received has an expected shape. */
export type ValueCheck = (value: unknown) => boolean;
