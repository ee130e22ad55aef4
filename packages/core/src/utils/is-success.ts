const OK = 200;
const FIRST_REDIRECT = 300;

/** The status is one of success (2xx). */
export function isSuccess(status: number): boolean {
  return status >= OK && status < FIRST_REDIRECT;
}
