import 'reflect-metadata';
import { Container } from 'inversify';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import type { Clock, Random } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../types/tokens.ts';
import { Daemon } from './daemon.ts';
import { LiveIncarnation } from './lifecycle/live-incarnation.ts';

interface DaemonOptions {
  readonly settings: Settings;
  /** @default the operating system's clock */
  readonly clock?: Clock;
  /** @default a generator seeded by the time and the process */
  readonly random?: Random;
}

/** Composition root: creates a node from its settings without starting it. */
export function createDaemon({
  settings,
  clock = new SystemClock(),
  random,
}: DaemonOptions): Daemon {
  const container = new Container({ autobind: true, defaultScope: 'Singleton' });
  const number = clock.wall();
  container.bind(tokens.settings).toConstantValue(settings);
  container.bind(tokens.clock).toConstantValue(clock);
  container.bind(tokens.random).toConstantValue(random ?? new SeededRandom(number ^ process.pid));
  container
    .bind(tokens.incarnation)
    .toConstantValue(new LiveIncarnation({ nodeId: settings.node.id, number }));
  return container.get(Daemon);
}
