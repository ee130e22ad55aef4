import { Failure } from '@ragwortrudder/core';

/** The platform refused to start a VM, for example for lack of capacity. */
export class VmRefused extends Failure {
  readonly code = 'vm-refused';

  constructor(failureDomain: string, machineClass: string) {
    super(
      `the platform refused to start a VM of class ${machineClass} in failure domain ${failureDomain}`,
      {
        status: 409,
        retryable: true,
        notRun: true,
        hint: 'try another failure domain or machine class',
      },
    );
  }
}
