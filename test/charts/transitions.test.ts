import test from 'ava';
import {
  Chart,
  TransitionRefused,
  connection,
  lease,
  node,
  request,
  versionMove,
} from '@ragwortrudder/charts';
import type { ChartDefinition } from '@ragwortrudder/charts';

const definitions: readonly ChartDefinition[] = [connection, lease, node, request, versionMove];

function eventsTo(definition: ChartDefinition, target: string): readonly string[] {
  const paths = new Map<string, readonly string[]>([[definition.initial, []]]);
  for (const [state, path] of paths) {
    for (const [event, next] of Object.entries(definition.states[state]?.on ?? {})) {
      if (!paths.has(next)) paths.set(next, [...path, event]);
    }
  }
  const path = paths.get(target);
  if (!path) throw new TransitionRefused(definition.id, target, 'unreachable');
  return path;
}

function chartIn(definition: ChartDefinition, state: string): Chart {
  const chart = new Chart(definition);
  for (const event of eventsTo(definition, state)) chart.send(event);
  return chart;
}

for (const definition of definitions) {
  const allEvents = new Set(
    Object.values(definition.states).flatMap((state) => Object.keys(state.on ?? {})),
  );
  for (const [name, state] of Object.entries(definition.states)) {
    test(`${definition.id}: transitions from ${name}`, (t) => {
      for (const [event, target] of Object.entries(state.on ?? {})) {
        t.is(chartIn(definition, name).send(event), target);
      }
      for (const event of allEvents) {
        if (event in (state.on ?? {})) continue;
        t.throws(() => chartIn(definition, name).send(event), { instanceOf: TransitionRefused });
      }
      t.is(chartIn(definition, name).final, state.type === 'final');
    });
  }
}
