import { Failure } from '@ragwortrudder/core';

/** The service does not accept requests of this class. */
export class ClassUnknown extends Failure {
  readonly code = 'class-unknown';

  constructor(service: string, className: string) {
    super(`service ${service} does not accept requests of class ${className}`, {
      status: 400,
      notRun: true,
      hint: 'use one of the classes of the service',
    });
  }
}
