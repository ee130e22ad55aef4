import { freeAddresses, parseAddress } from '@ragwortrudder/standins';

/** Returns a port of the test process's own host that no other process can take before it is used. */
export async function freePort(): Promise<number> {
  const [address = ''] = await freeAddresses(1);
  return parseAddress(address).port;
}
