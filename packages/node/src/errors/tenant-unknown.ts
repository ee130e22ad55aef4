import { Failure } from '@ragwortrudder/core';

/** No accepted ticket assigns a share to the tenant. */
export class TenantUnknown extends Failure {
  readonly code = 'tenant-unknown';

  constructor(tenant: string) {
    super(`no ticket assigns a share to tenant ${tenant}`, {
      status: 403,
      notRun: true,
      hint: 'submit a ticket that assigns a share to this tenant',
    });
  }
}
