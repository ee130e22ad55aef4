type Labels = Readonly<Record<string, string>>;

/** True when `labels` carries every label of `wanted`. */
export function hasLabels(labels: Labels, wanted: Labels): boolean {
  return Object.entries(wanted).every(([name, value]) => labels[name] === value);
}
