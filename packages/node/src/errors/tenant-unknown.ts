import { Failure } from '@ragwortrudder/core';

/** No accepted ticket gives the tenant a share. */
export class TenantUnknown extends Failure {
  readonly code = 'tenant-unknown';

  constructor(tenant: string) {
    super(`no ticket gives tenant ${tenant} a share`, {
      status: 403,
      notRun: true,
      hint: 'submit a ticket with the share of this tenant',
    });
  }
}
