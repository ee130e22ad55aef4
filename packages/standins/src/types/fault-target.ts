/** Interface of the platform at which a fault is brought about. */
export type FaultTarget = 'log.append' | 'log.read' | 'vms' | 'cloud' | 'notices' | 'weights';
