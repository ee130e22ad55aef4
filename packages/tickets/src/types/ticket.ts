import * as z from 'zod';
import { BASE_PROBLEM } from '../utils/base-problem.ts';
import { isNumberAboveBase } from '../utils/is-number-above-base.ts';
import { ObjectName } from './object-name.ts';
import { Service } from './service.ts';
import { TenantShare } from './tenant-share.ts';

/**
 * Numbered configuration change with the complete new state of each object it touches; null removes
 * the object.
 */
export const Ticket = z
  .strictObject({
    number: z.int().positive(),
    /** Number of the newest accepted ticket that the author had seen; 0 when there was none. */
    against: z.int().nonnegative(),
    author: z.string().min(1).max(128),
    services: z.record(ObjectName, Service.nullable()).readonly().default({}),
    tenants: z.record(ObjectName, TenantShare.nullable()).readonly().default({}),
    /** Failure domains in use. */
    domains: z.array(ObjectName).min(1).readonly().optional(),
  })
  .refine(isNumberAboveBase, { path: ['against'], error: BASE_PROBLEM })
  .refine(
    ({ services, tenants, domains }) =>
      domains !== undefined || Object.keys(services).length + Object.keys(tenants).length > 0,
    { error: 'the ticket changes nothing: specify services, tenants or domains' },
  )
  .readonly();
export type Ticket = z.infer<typeof Ticket>;
