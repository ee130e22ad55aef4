import * as z from 'zod';

/** Listen address of one of a node's servers. */
export const Listen = z
  .strictObject({
    host: z.ipv4().default('127.0.0.1').describe('IPv4 address to listen on.'),
    port: z.number().int().min(0).max(65_535).describe('Port to listen on; 0 selects a free port.'),
  })
  .readonly();
export type Listen = z.infer<typeof Listen>;
