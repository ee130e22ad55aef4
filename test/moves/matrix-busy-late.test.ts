import { testMatrix } from './matrix.ts';

testMatrix({
  name: 'busy, late deadline',
  requestsPerSecond: 20,
  windowMs: 300_000,
  maxUnprovedFraction: 0.01,
});
