import { Failure } from '@ragwortrudder/core';

/** No accepted ticket defines the service. */
export class ServiceUnknown extends Failure {
  readonly code = 'service-unknown';

  constructor(service: string) {
    super(`no service named ${service}`, {
      status: 404,
      notRun: true,
      hint: 'see the names with: ragwortrudder ticket list',
    });
  }
}
