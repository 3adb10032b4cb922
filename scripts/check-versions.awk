# Checks that the configuration version of each instance never goes back. Each line is: instance, version.
# Version 0 is shown by an instance that has no configuration yet. Ends with 1 when a check fails.

$2 + 0 == 0 {
  next
}

{
  samples++
}

$2 + 0 < newest[$1] {
  failures++
  print "check failed: entry-" $1 " went back from version " newest[$1] " to " $2
}

{
  newest[$1] = $2 + 0
}

END {
  printf "checked: %d configuration versions shown by instances; %d went back\n", samples, failures
  exit failures > 0
}
