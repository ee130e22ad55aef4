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

const linkList = z.array(
  z.object({ name: z.string(), listen: z.number().default(0), target: z.string() }),
);

function linksOf({ links, listen, target }: Arguments): readonly RelayLink[] {
  const pairs = target.map((address, index) => ({
    name: `link-${index + 1}`,
    listen: listen[index] ?? 0,
    target: address,
  }));
  return [...parseOption(linkList, links), ...pairs];
}

/** `relay`: passes TCP connections on over links that can be cut. */
export const relayCommand: CommandModule<object, Arguments> = {
  command: 'relay',
  describe: 'pass TCP connections on over links that can be cut, frozen or delayed',
  builder: {
    port: { type: 'number', default: 0, describe: 'port of the control interface, 0 for any' },
    links: { type: 'string', default: '[]', describe: 'JSON list of { name, listen, target }' },
    listen: { type: 'number', array: true, default: [], describe: 'port of each --target' },
    target: {
      type: 'string',
      array: true,
      default: [],
      describe: 'address host:port of each link',
    },
  },
  handler: async (args) => {
    const relay = new Relay(linksOf(args));
    const server = {
      listen: () => relay.listen('127.0.0.1', args.port),
      drain: (graceMs: number) => relay.drain(graceMs),
    };
    await serveUntilSignal(server, () => ({ port: relay.port, links: relay.links() }));
  },
};
