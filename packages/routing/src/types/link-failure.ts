/**
 * Why no connection could be opened: the other end, or something on the way, refused it, or nothing answered
 * in time, in which case nothing can be expected of open connections either.
 */
export type LinkFailure = 'refused' | 'silent';
