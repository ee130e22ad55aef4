import * as z from 'zod';
import { Address } from './address.ts';
import { Admission } from './admission.ts';
import { Keys } from './keys.ts';
import { Limits } from './limits.ts';
import { Listen } from './listen.ts';
import { Log } from './log.ts';
import { Membership } from './membership.ts';
import { NodeIdentity } from './node-identity.ts';
import { Requests } from './requests.ts';
import { Runners } from './runners.ts';
import { Shutdown } from './shutdown.ts';
import { Supply } from './supply.ts';

/** Settings of one node. */
export const Settings = z
  .strictObject({
    node: NodeIdentity,
    listen: z.strictObject({ callers: Listen, peers: Listen }).readonly(),
    advertise: z
      .strictObject({
        callers: Address.describe('Address at which callers reach this node.'),
        peers: Address.describe('Address at which peers reach this node.'),
      })
      .readonly(),
    platform: z
      .strictObject({
        url: z
          .url({ protocol: /^https?$/ })
          .describe('Base URL of the platform, with an IP address as the host.'),
      })
      .readonly(),
    seeds: z
      .array(Address.describe('Peer address of another node.'))
      .readonly()
      .default([])
      .describe(
        'Peer addresses through which the node joins the cluster; a single node needs none.',
      ),
    keys: Keys,
    limits: Limits.prefault({}),
    requests: Requests.prefault({}),
    admission: Admission.prefault({}),
    membership: Membership.prefault({}),
    log: Log.prefault({}),
    runners: Runners.prefault({}),
    supply: Supply.prefault({}),
    shutdown: Shutdown.prefault({}),
  })
  .readonly();
export type Settings = z.infer<typeof Settings>;
