import type { FleetLink } from '../types/fleet-link.ts';
import type { FleetMember } from '../types/fleet-member.ts';
import type { FleetRunner } from '../types/fleet-runner.ts';

interface LinkPlanInput {
  readonly entries: readonly FleetMember[];
  readonly platformAddress: string;
  readonly runners: readonly FleetRunner[];
}

/** Plans a link from each entry node to every other entry node, to the platform and to each runner. */
export function planLinks({
  entries,
  platformAddress,
  runners,
}: LinkPlanInput): readonly FleetLink[] {
  const destinations = [
    ...entries.map((entry) => ({ to: entry.name, target: entry.peerAddress ?? '' })),
    { to: 'platform', target: platformAddress },
    ...runners.map((runner) => ({ to: runner.id, target: runner.address })),
  ];
  return entries.flatMap(({ name: from }) =>
    destinations
      .filter(({ to }) => to !== from)
      .map(({ to, target }) => ({ name: `${from}>${to}`, from, to, target })),
  );
}
