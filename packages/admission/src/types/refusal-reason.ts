/** Why a request was not admitted. */
export type RefusalReason =
  'wait-exceeds-deadline' | 'queue-full' | 'tenant-queue-full' | 'deadline-passed' | 'displaced';
