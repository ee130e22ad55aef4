import type { Vm } from '@ragwortrudder/platform';
import type { RunnerIdentity } from '@ragwortrudder/routing';

/** Identity of the runner on an endpoint VM; undefined when the VM hosts none. */
export function runnerIdentityOf(vm: Vm): RunnerIdentity | undefined {
  const { service, version, kind } = vm.labels;
  if (vm.role !== 'endpoint' || !vm.address) return undefined;
  if (!service || !version || !kind) return undefined;
  return {
    id: vm.id,
    endpoint: vm.address,
    failureDomain: vm.failureDomain,
    service,
    version,
    kind,
  };
}
