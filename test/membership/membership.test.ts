import test from 'ava';
import { Cluster } from './cluster.ts';

const SEEDS = [1, 2, 3, 4, 5];
const JOIN_SECONDS = 20;

for (const seed of SEEDS) {
  test(`nodes discover each other and no member is suspected, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    for (const nodeId of cluster.nodes.keys()) t.deepEqual(cluster.statesOf(nodeId), ['alive']);
    await cluster.run(60);
    t.is(cluster.count('suspected'), 0);
  });

  test(`a killed node is declared dead by all nodes, but not before the suspicion timeout, seed ${seed}`, async (t) => {
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

  test(`a node that pauses for less than the suspicion timeout refutes the suspicion, seed ${seed}`, async (t) => {
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

  test(`a node that resumes after a long pause declares no member dead and continues under a new incarnation, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    const paused = cluster.node('n2-0');
    const old = paused.self.incarnation;
    cluster.network.remove('n2-0');
    cluster.paused.add('n2-0');
    await cluster.run(60);
    t.deepEqual(cluster.statesOf('n2-0').includes('dead'), true);
    const eventsBeforeResume = cluster.events.length;
    cluster.network.add('n2-0', paused as never);
    cluster.paused.delete('n2-0');
    await cluster.run(60);
    const eventsAfterResume = cluster.events.slice(eventsBeforeResume);
    t.is(eventsAfterResume.filter(({ event }) => event.kind === 'died').length, 0);
    t.true(paused.self.incarnation > old);
    t.deepEqual(cluster.statesOf('n2-0'), ['alive']);
    for (const node of cluster.nodes.values()) {
      t.true(node.isGone({ nodeId: 'n2-0', number: old }));
      t.false(node.isGone({ nodeId: 'n2-0', number: paused.self.incarnation }));
    }
  });

  test(`a partitioned domain keeps running, and both sides rejoin after the partition heals, seed ${seed}`, async (t) => {
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
    cluster.network.restoreLinks();
    await cluster.run(200);
    for (const nodeId of cluster.nodes.keys()) t.deepEqual(cluster.statesOf(nodeId), ['alive']);
    t.true(
      cluster
        .node('n0-1')
        .domainView()
        .every(({ reachable }) => reachable),
    );
  });

  test(`an isolated node declares no member dead, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    cluster.cut((nodeId) => nodeId === 'n0-1');
    await cluster.run(120);
    const died = cluster.events.filter(
      ({ node, event }) => node === 'n0-1' && event.kind === 'died',
    );
    t.deepEqual(died, []);
  });

  test(`a one-way link failure between two nodes gets neither declared dead, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    cluster.network.dropLink('n0-0', 'n0-1');
    await cluster.run(120);
    t.is(cluster.count('died'), 0);
  });

  test(`a planned leave propagates at once and is not reported as a death, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    await cluster.node('n0-2').leave();
    cluster.kill('n0-2');
    await cluster.run(10);
    t.deepEqual(cluster.statesOf('n0-2'), ['left']);
    t.is(cluster.count('died'), 0);
  });

  test(`all members of a failed domain are declared dead, seed ${seed}`, async (t) => {
    const cluster = new Cluster(seed, [3, 3, 3]);
    await cluster.run(JOIN_SECONDS);
    for (const nodeId of ['n1-0', 'n1-1', 'n1-2']) cluster.kill(nodeId);
    await cluster.run(60);
    for (const nodeId of ['n1-0', 'n1-1', 'n1-2']) {
      t.deepEqual(cluster.statesOf(nodeId), ['dead']);
    }
    t.is(cluster.count('renewed'), 0);
  });

  test(`a restarted node replaces its old incarnation, and its reports reach all nodes, seed ${seed}`, async (t) => {
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
  test(`suspicion timers restart after a pause of the local node, between or during probe rounds, seed ${seed}`, async (t) => {
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
    const runningNodes = [...cluster.nodes].filter(([nodeId]) => nodeId !== 'n0-1');
    const ticks = runningNodes.map(([, node]) => node.tick());
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

test('members gone for longer than the retention are pruned with their reports, and stay known as gone', async (t) => {
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

test('an indirect probe to an address that belongs to no member is refused', async (t) => {
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

test('an urgent report reaches 60 nodes within 10 s while the other nodes publish continuously', async (t) => {
  const cluster = new Cluster(12, [20, 20, 20]);
  await cluster.run(JOIN_SECONDS);
  const publishAndRun = async (seconds: number): Promise<void> => {
    for (let second = 0; second < seconds; second += 1) {
      for (const [nodeId, reports] of cluster.reports) {
        if (nodeId !== 'n1-7') reports.publish(second);
      }
      await cluster.run(1);
    }
  };
  await publishAndRun(30);
  cluster.reports.get('n1-7')?.publish(-1, { urgent: true });
  await publishAndRun(10);
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
