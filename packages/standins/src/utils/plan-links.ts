import type { FleetLink } from '../types/fleet-link.ts';
import type { FleetMember } from '../types/fleet-member.ts';
import type { FleetRunner } from '../types/fleet-runner.ts';

interface LinkEnds {
  readonly entries: readonly FleetMember[];
  readonly platformAddress: string;
  readonly runners: readonly FleetRunner[];
}

/** Works out a link from each entry node to each other one, to the platform and to each runner. */
export function planLinks({ entries, platformAddress, runners }: LinkEnds): readonly FleetLink[] {
  const ends = [
    ...entries.map((entry) => ({ to: entry.name, target: entry.peerAddress ?? '' })),
    { to: 'platform', target: platformAddress },
    ...runners.map((runner) => ({ to: runner.id, target: runner.address })),
  ];
  return entries.flatMap(({ name: from }) =>
    ends
      .filter(({ to }) => to !== from)
      .map(({ to, target }) => ({ name: `${from}>${to}`, from, to, target })),
  );
}
