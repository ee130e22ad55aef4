import * as z from 'zod';

const ScenarioRequest = z
  .strictObject({
    tenant: z.string(),
    service: z.string(),
    idempotencyKey: z.string().optional(),
    /** True when the idempotency key is requested with `POST /v1/keys`. */
    issuedKey: z.boolean().optional(),
    body: z.record(z.string(), z.unknown()).readonly(),
  })
  .readonly();

/** Input of the demo: tenants with their keys, and requests in order. */
export const Scenario = z
  .strictObject({
    tenants: z
      .array(z.strictObject({ tenant: z.string(), key: z.string(), weight: z.number() }).readonly())
      .readonly(),
    requests: z.array(ScenarioRequest).readonly(),
  })
  .readonly();
export type Scenario = z.infer<typeof Scenario>;
