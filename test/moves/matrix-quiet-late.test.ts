import { testMatrix } from './matrix.ts';

testMatrix({
  name: 'quiet, late deadline',
  requestsPerSecond: 0.5,
  windowMs: 1_800_000,
  maxUnprovedFraction: 0.01,
});
