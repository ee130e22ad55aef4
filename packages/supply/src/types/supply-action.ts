import type { StartVm } from './start-vm.ts';
import type { StopVm } from './stop-vm.ts';

/** One step of a supply plan. */
export type SupplyAction = StartVm | StopVm;
