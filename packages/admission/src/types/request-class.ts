/**
 * Class of a request: for `interactive` a user is waiting; `batch` tolerates delay but must finish.
 */
export type RequestClass = 'interactive' | 'batch';
