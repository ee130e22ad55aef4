import * as z from 'zod';

const OCTET = '(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)';
const PORT = '(?:6553[0-5]|655[0-2]\\d|65[0-4]\\d\\d|6[0-4]\\d{3}|[1-5]\\d{4}|[1-9]\\d{0,3})';
const PATTERN = new RegExp(`^${OCTET}(?:\\.${OCTET}){3}:${PORT}$`);

/** IPv4 address and port, for example `10.0.0.1:7000`. */
export const Address = z.string().regex(PATTERN);
export type Address = z.infer<typeof Address>;
