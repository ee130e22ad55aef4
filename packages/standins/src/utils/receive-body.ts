/** Returns the whole body of a request; undefined if the connection ended before it had arrived. */
export async function receiveBody(
  request: AsyncIterable<unknown> & { readonly complete: boolean },
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch (error) {
    if (request.complete) throw error;
    return undefined;
  }
  return Buffer.concat(chunks);
}
