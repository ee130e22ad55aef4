import { Failure } from '@ragwortrudder/core';

/** No route has this path. */
export class PathUnknown extends Failure {
  readonly code = 'path-unknown';

  constructor(path: string) {
    super(`no resource at ${path.slice(0, 200)}`, {
      status: 404,
      notRun: true,
      hint: 'see docs/openapi.json',
    });
  }
}
