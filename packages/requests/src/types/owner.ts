import * as z from 'zod';

/** The node, and its incarnation number, that owns a request. */
export const Owner = z.strictObject({ nodeId: z.string().min(1), number: z.number() }).readonly();
export type Owner = z.infer<typeof Owner>;
