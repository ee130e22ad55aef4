/**
 * Bundles the daemon and its command line into the single executable `ragwortrudder`. The argument is
 * the output folder, `dist` by default.
 */
import { spawnSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import type { BuildOptions } from 'esbuild';

const OUTPUT_FOLDER = process.argv[2] ?? 'dist';
const MAIN_BUNDLE = `${OUTPUT_FOLDER}/main.cjs`;
const COMMAND_LINE_BUNDLE = `${OUTPUT_FOLDER}/command-line.cjs`;
const BLOB = `${OUTPUT_FOLDER}/ragwortrudder.blob`;
const SEA_CONFIG = `${OUTPUT_FOLDER}/sea.json`;
const BINARY = `${OUTPUT_FOLDER}/ragwortrudder`;
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

function run(command: string, args: readonly string[]): void {
  const result = spawnSync(command, args, { stdio: 'inherit' });
  if (result.status !== 0) throw new Error(`${command} ${args.join(' ')} failed`);
}

mkdirSync(OUTPUT_FOLDER, { recursive: true });
const bundle: BuildOptions = {
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  // Node.js keeps the source text of the bundle in memory, so a smaller bundle saves memory.
  minifyWhitespace: true,
  minifySyntax: true,
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: {
    js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
  },
  tsconfig: 'tsconfig.json',
  logLevel: 'warning',
};
await build({
  ...bundle,
  entryPoints: ['packages/cli/src/cli/main.ts'],
  outfile: MAIN_BUNDLE,
  external: ['dtrace-provider', '*/node/run.ts'],
});
await build({
  ...bundle,
  entryPoints: ['packages/cli/src/node/run.ts'],
  outfile: COMMAND_LINE_BUNDLE,
  external: ['dtrace-provider'],
});
writeFileSync(
  SEA_CONFIG,
  JSON.stringify({
    main: MAIN_BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
    assets: { 'command-line.cjs': COMMAND_LINE_BUNDLE },
  }),
);
run(process.execPath, ['--experimental-sea-config', SEA_CONFIG]);
// A running binary cannot be overwritten, but it can be unlinked and replaced by a new file.
rmSync(BINARY, { force: true });
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
run('npx', ['postject', BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SEA_FUSE]);
