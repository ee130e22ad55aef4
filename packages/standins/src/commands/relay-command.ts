import type { CommandModule } from 'yargs';
import * as z from 'zod';
import { Relay } from '../node/relay.ts';
import { serveUntilSignal } from '../node/serve-until-signal.ts';
import type { RelayLink } from '../types/relay-link.ts';
import { parseOption } from './parse-option.ts';

interface Arguments {
  readonly port: number;
  readonly links: string;
  readonly listen: readonly number[];
  readonly target: readonly string[];
}

const linkListSchema = z.array(
  z.object({ name: z.string(), listen: z.number().default(0), target: z.string() }),
);

function parseLinks({ links, listen, target }: Arguments): readonly RelayLink[] {
  const positionalLinks = target.map((address, index) => ({
    name: `link-${index + 1}`,
    listen: listen[index] ?? 0,
    target: address,
  }));
  return [...parseOption(linkListSchema, links), ...positionalLinks];
}

/** `relay`: forwards TCP connections over links that can be cut, frozen or delayed. */
export const relayCommand: CommandModule<object, Arguments> = {
  command: 'relay',
  describe: 'forward TCP connections over links that can be cut, frozen or delayed',
  builder: {
    port: {
      type: 'number',
      default: 0,
      describe: 'port of the control interface; 0 selects any free port',
    },
    links: { type: 'string', default: '[]', describe: 'JSON array of { name, listen, target }' },
    listen: {
      type: 'number',
      array: true,
      default: [],
      describe: 'listening port of each --target, in the same order',
    },
    target: {
      type: 'string',
      array: true,
      default: [],
      describe: 'address host:port to which each link forwards',
    },
  },
  handler: async (args) => {
    const relay = new Relay(parseLinks(args));
    const server = {
      listen: () => relay.listen('127.0.0.1', args.port),
      drain: (graceMs: number) => relay.drain(graceMs),
    };
    await serveUntilSignal(server, () => ({ port: relay.port, links: relay.links() }));
  },
};
