import { parseAddress } from '../utils/parse-address.ts';
import { freeAddresses } from './free-addresses.ts';

interface RunnerAddress {
  readonly host: string;
  readonly port: number;
}

interface RunnerAddressOptions {
  readonly host?: string | undefined;
  readonly port?: number | undefined;
}

const DEFAULT_HOST = '127.0.0.1';

/**
 * Address on which a runner listens. Without a host and a port it is one that no other process can take
 * while the runner refuses connections.
 */
export async function runnerAddress({ host, port }: RunnerAddressOptions): Promise<RunnerAddress> {
  if (host !== undefined || port !== undefined) {
    return { host: host ?? DEFAULT_HOST, port: port ?? 0 };
  }
  const [address = ''] = await freeAddresses(1);
  return parseAddress(address);
}
