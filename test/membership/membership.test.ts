import test from 'ava';
import { Cluster } from './cluster.ts';

const SEEDS = [1, 2, 3, 4, 5];
const JOIN_SECONDS = 20;

for (const seed of SEEDS) {
  test(`nodes find each other and nobody is suspected, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    for (const nodeId of cluster.nodes.keys()) t.deepEqual(cluster.statesOf(nodeId), ['alive']);
    await cluster.run(60);
    t.is(cluster.count('suspected'), 0);
  });

  test(`a killed node is declared dead by all, not before its suspicion ran out, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    const { incarnation } = cluster.node('n1-2').self;
    cluster.kill('n1-2');
    await cluster.run(3);
    t.is(cluster.count('died'), 0);
    await cluster.run(27);
    t.deepEqual(cluster.statesOf('n1-2'), ['dead']);
    t.true(cluster.node('n0-0').isGone({ nodeId: 'n1-2', number: incarnation }));
    t.is(cluster.count('renewed'), 0);
  });

  test(`a pause shorter than the suspicion is refuted, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    cluster.network.remove('n1-1');
    cluster.paused.add('n1-1');
    await cluster.run(3);
    cluster.network.add('n1-1', cluster.node('n1-1') as never);
    cluster.paused.delete('n1-1');
    await cluster.run(20);
    t.deepEqual(cluster.statesOf('n1-1'), ['alive']);
    t.is(cluster.count('died'), 0);
  });

  test(`a node that wakes after a long pause declares nobody dead and continues under a new incarnation, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    const sleeper = cluster.node('n2-0');
    const old = sleeper.self.incarnation;
    cluster.network.remove('n2-0');
    cluster.paused.add('n2-0');
    await cluster.run(60);
    t.deepEqual(cluster.statesOf('n2-0').includes('dead'), true);
    const before = cluster.events.length;
    cluster.network.add('n2-0', sleeper as never);
    cluster.paused.delete('n2-0');
    await cluster.run(60);
    const later = cluster.events.slice(before);
    t.is(later.filter(({ event }) => event.kind === 'died').length, 0);
    t.true(sleeper.self.incarnation > old);
    t.deepEqual(cluster.statesOf('n2-0'), ['alive']);
    for (const node of cluster.nodes.values()) {
      t.true(node.isGone({ nodeId: 'n2-0', number: old }));
      t.false(node.isGone({ nodeId: 'n2-0', number: sleeper.self.incarnation }));
    }
  });

  test(`a domain that is cut off goes on, and both sides join again, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    cluster.cut((nodeId) => nodeId.startsWith('n0'));
    await cluster.run(8);
    t.is(cluster.count('died'), 0);
    const view = cluster.node('n0-1').domainView();
    t.deepEqual(
      view.filter(({ reachable }) => reachable).map(({ failureDomain }) => failureDomain),
      ['fd0'],
    );
    await cluster.run(40);
    cluster.network.heal();
    await cluster.run(200);
    for (const nodeId of cluster.nodes.keys()) t.deepEqual(cluster.statesOf(nodeId), ['alive']);
    t.true(
      cluster
        .node('n0-1')
        .domainView()
        .every(({ reachable }) => reachable),
    );
  });

  test(`a node that reaches nobody declares nobody dead, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    cluster.cut((nodeId) => nodeId === 'n0-1');
    await cluster.run(120);
    const died = cluster.events.filter(
      ({ node, event }) => node === 'n0-1' && event.kind === 'died',
    );
    t.deepEqual(died, []);
  });

  test(`a one-way cut between two nodes kills neither, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    cluster.network.cut('n0-0', 'n0-1');
    await cluster.run(120);
    t.is(cluster.count('died'), 0);
  });

  test(`a planned leave is known at once and is not a death, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    await cluster.node('n0-2').leave();
    cluster.kill('n0-2');
    await cluster.run(10);
    t.deepEqual(cluster.statesOf('n0-2'), ['left']);
    t.is(cluster.count('died'), 0);
  });

  test(`a whole domain lost at once is declared dead, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    for (const nodeId of ['n1-0', 'n1-1', 'n1-2']) cluster.kill(nodeId);
    await cluster.run(60);
    for (const nodeId of ['n1-0', 'n1-1', 'n1-2']) {
      t.deepEqual(cluster.statesOf(nodeId), ['dead']);
    }
    t.is(cluster.count('renewed'), 0);
  });

  test(`a restarted node replaces its old incarnation, and reports reach everybody, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    const old = cluster.node('n0-0').self.incarnation;
    cluster.kill('n0-0');
    await cluster.run(1);
    cluster.start('n0-0', 'fd0');
    cluster.reports.get('n0-0')?.publish(42);
    await cluster.run(40);
    for (const [nodeId, node] of cluster.nodes) {
      t.true(node.isGone({ nodeId: 'n0-0', number: old }));
      t.is(cluster.reports.get(nodeId)?.get('n0-0')?.value, 42);
    }
    t.deepEqual(cluster.statesOf('n0-0'), ['alive']);
  });
}

for (const seed of SEEDS) {
  test(`suspicions start over after a pause of the node itself, between or within its rounds, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3]);
    await cluster.run(JOIN_SECONDS);
    const unreachable = cluster.node('n0-1');
    cluster.network.remove('n0-1');
    cluster.paused.add('n0-1');
    await cluster.run(3);
    t.true(cluster.count('suspected') > 0);
    t.is(cluster.count('died'), 0);
    cluster.clock.advance(20_000);
    await cluster.run(2);
    t.is(cluster.count('died'), 0);
    const rounds = [...cluster.nodes].filter(([nodeId]) => nodeId !== 'n0-1');
    const ticks = rounds.map(([, node]) => node.tick());
    cluster.clock.advance(20_000);
    await Promise.all(ticks);
    t.is(cluster.count('died'), 0);
    cluster.network.add('n0-1', unreachable as never);
    cluster.paused.delete('n0-1');
    await cluster.run(20);
    t.deepEqual(cluster.statesOf('n0-1'), ['alive']);
    t.is(cluster.count('died'), 0);
  });
}

test('a node forgets those gone for long, and their reports, and still knows that they are gone', async (t) => {
  const cluster = new Cluster(9, [3, 3]);
  await cluster.run(JOIN_SECONDS);
  const old = cluster.node('n1-2').self.incarnation;
  cluster.reports.get('n1-2')?.publish(7);
  await cluster.run(20);
  cluster.kill('n1-2');
  await cluster.run(30);
  t.is(cluster.reports.get('n0-0')?.get('n1-2')?.value, 7);
  cluster.clock.advance(3_600_000);
  await cluster.run(30);
  t.deepEqual(cluster.statesOf('n1-2'), ['unknown']);
  t.is(cluster.reports.get('n0-0')?.get('n1-2'), undefined);
  t.true(cluster.node('n0-0').isGone({ nodeId: 'n1-2', number: old }));
});

test('an address that belongs to no member is not probed on behalf of others', async (t) => {
  const cluster = new Cluster(10, [2]);
  await cluster.run(5);
  const node = cluster.node('n0-0');
  const message = {
    fromNode: 'x',
    fromIncarnation: 1,
    gossip: { members: [], reports: [] },
  };
  await t.throwsAsync(node.handleIndirectProbe({ target: '10.0.0.1:22', message }), {
    code: 'unknown-peer',
  });
});

test('an urgent report reaches 60 nodes within 10 s while others publish all the time', async (t) => {
  const cluster = new Cluster(12, [20, 20, 20]);
  await cluster.run(JOIN_SECONDS);
  const busy = async (seconds: number): Promise<void> => {
    for (let second = 0; second < seconds; second += 1) {
      for (const [nodeId, reports] of cluster.reports) {
        if (nodeId !== 'n1-7') reports.publish(second);
      }
      await cluster.run(1);
    }
  };
  await busy(30);
  cluster.reports.get('n1-7')?.publish(-1, { urgent: true });
  await busy(10);
  const informed = [...cluster.reports.values()].filter(
    (reports) => reports.get('n1-7')?.value === -1,
  );
  t.is(informed.length, 60);
});

test('a node stops when a newer process runs under its identifier', async (t) => {
  const cluster = new Cluster(13, [3, 3]);
  await cluster.run(JOIN_SECONDS);
  const old = cluster.node('n0-1');
  const newer = { ...old.self, incarnation: old.self.incarnation + 1 };
  const gossip = { members: [newer], reports: [] };
  old.handleProbe({
    fromNode: 'n0-0',
    fromIncarnation: cluster.node('n0-0').self.incarnation,
    gossip,
  });
  t.is(cluster.count('replaced'), 1);
  const sent = cluster.network.messages;
  await old.tick();
  t.is(cluster.network.messages, sent);
});
