/** Class of a request: `interactive` has somebody waiting, `batch` can wait but must finish. */
export type RequestClass = 'interactive' | 'batch';
