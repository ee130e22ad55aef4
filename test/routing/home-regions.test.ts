import test from 'ava';
import { HomeRegions } from '@ragwortrudder/routing';

const REGIONS = { a: 'north', b: 'south', c: 'east' };

function allowed(home: HomeRegions): readonly string[] {
  return ['a', 'b', 'c', 'd'].filter((domain) => home.allowsRunner(domain));
}

test('without home regions, or with empty lists, every failure domain is allowed', (t) => {
  for (const lists of [[], [[]], [[], []]]) {
    const home = new HomeRegions({ lists, domainRegions: REGIONS });
    t.true(home.isAnywhere);
    t.deepEqual(allowed(home), ['a', 'b', 'c', 'd']);
    t.true(home.allowsNode(undefined));
  }
});

// Guards against a request that leaves its home regions (data residency).
test('runners are allowed in the regions of all lists, and never where the region is unknown', (t) => {
  const homeOf = (...lists: readonly (readonly string[])[]): HomeRegions =>
    new HomeRegions({ lists, domainRegions: REGIONS, callerRegion: 'east' });
  t.deepEqual(allowed(homeOf(['north'])), ['a']);
  t.deepEqual(allowed(homeOf(['north', 'south'], ['south', 'east'])), ['b']);
  t.deepEqual(allowed(homeOf(['north'], [])), ['a']);
  t.deepEqual(allowed(homeOf(['north'], ['south'])), []);
  t.deepEqual(allowed(homeOf([''])), []);
  t.deepEqual(allowed(new HomeRegions({ lists: [['north']], domainRegions: {} })), []);
  t.false(homeOf(['north']).allowsRunner('constructor'));
});

test('nodes are allowed in home regions and in the region of the node that the caller chose', (t) => {
  const home = new HomeRegions({
    lists: [['north']],
    domainRegions: REGIONS,
    callerRegion: 'south',
  });
  t.deepEqual(
    ['a', 'b', 'c', 'd', undefined].map((domain) => home.allowsNode(domain)),
    [true, true, false, false, false],
  );
  const unknown = new HomeRegions({ lists: [['north']], domainRegions: REGIONS });
  t.false(unknown.allowsNode('b'));
  t.false(unknown.allowsNode('d'));
});
