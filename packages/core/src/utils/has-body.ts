const FIRST_FINAL_STATUS = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Whether the response to a request of `method` with `status` has a body (RFC 9112, section 6.3). */
export function hasBody(method: string, status: number): boolean {
  return (
    method !== 'HEAD' &&
    status >= FIRST_FINAL_STATUS &&
    status !== NO_CONTENT &&
    status !== NOT_MODIFIED
  );
}
