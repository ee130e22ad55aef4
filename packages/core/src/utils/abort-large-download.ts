/** Call whose response is buffered, such as that of `got`. */
interface Download {
  on(
    event: 'downloadProgress',
    listener: (progress: { readonly transferred: number }) => void,
  ): unknown;
  cancel(): void;
}

/** Maximum size of a buffered response, in bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Cancels a call when its response grows beyond what may be buffered; returns the call. */
export function abortLargeDownload<T extends Download>(
  call: T,
  maxBytes: number = MAX_RESPONSE_BYTES,
): T {
  call.on('downloadProgress', ({ transferred }) => {
    if (transferred > maxBytes) call.cancel();
  });
  return call;
}
