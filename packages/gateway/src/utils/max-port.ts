/** The highest port of an address. */
export const MAX_PORT = 65_535;
