/** Splits an address `host:port`. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}
